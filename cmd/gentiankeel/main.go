// Command gentiankeel is the operators' tool.
package main

import (
	"context"
	"os"

	"gentiankeel/internal/opscli"
)

func main() {
	os.Exit(opscli.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
