// Command stand2 plays the scripts of the cases in review/: it starts a small deployment of the project's own processes, with
// stand-ins for servers, clients and the platform.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(rec *record, trouble bool) (broken []string, err error){
	"turns":    runTurns,
	"part":     runPart,
	"learners": runLearners,
}

// main runs the case named by the first argument and writes the record to the second. The exit status is 0 if the rule held,
// 1 if it was broken, 2 if the case could not run.
func main() {
	if len(os.Args) > 1 && os.Args[1] == "serve" {
		fmt.Fprintln(os.Stderr, servePlain(os.Args[2:]))
		os.Exit(2)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD, or stand2 serve ID ADDRESS CONTROL...")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	for _, line := range broken {
		rec.add("BROKEN: %s", line)
		fmt.Println("broken:", line)
	}
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case len(broken) > 0:
		os.Exit(1)
	}
	rec.add("the rule held")
}
