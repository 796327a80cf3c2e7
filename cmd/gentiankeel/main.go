// Command gentiankeel is the operators' command line tool.
package main

import (
	"context"
	"os"

	"gentiankeel/internal/opscli"
)

func main() {
	os.Exit(opscli.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
