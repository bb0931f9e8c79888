// Package cases shows faults that independent reviewers have found, each with the project's own programs as processes
// before stand-ins for callers, targets and the platform's store.
package cases

import (
	"fmt"
	"os"
	"testing"
)

// Exit codes of a case.
const (
	exitHeld     = 0 // the rule held
	exitBroken   = 1 // the rule was broken
	exitUnusable = 2 // the case could not run
)

// Variables that select a case and say where it writes.
const (
	caseVariable    = "REVIEW_CASE"
	programVariable = "REVIEW_PROGRAM" // path of the project's program
	recordVariable  = "REVIEW_RECORD"  // path of the record
	troubleVariable = "TROUBLE"        // 0 to leave the disruption out
)

// cases are the functions of the cases, by number. Each returns whether the rule held.
var cases = map[string]func(*deployment) (held bool, err error){
	"6":      badPartBeforeASharedOne,
	"7":      badPartInVolleys,
	"8":      earlyAnswerToALongBody,
	"9":      runGoesOnAtTwoEngines,
	"10":     longStreamsInAStop,
	"midway": requestThatCrashesMidway, // shown, but not among the five
}

// TestMain runs the selected case in place of tests.
func TestMain(*testing.M) { os.Exit(runCase()) }

func runCase() int {
	play, ok := cases[os.Getenv(caseVariable)]
	if !ok {
		fmt.Fprintf(os.Stderr, "%s names no case\n", caseVariable)
		return exitUnusable
	}
	rec, err := newRecord(os.Getenv(recordVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnusable
	}
	defer rec.close()
	d, err := newDeployment(rec, os.Getenv(programVariable), os.Getenv(troubleVariable) != "0")
	if err != nil {
		rec.sayf("the case could not run: %v", err)
		return exitUnusable
	}
	defer d.close()
	rec.sayf("case %s, trouble %t", os.Getenv(caseVariable), d.trouble)
	held, err := play(d)
	switch {
	case err != nil:
		rec.sayf("the case could not run: %v", err)
		return exitUnusable
	case held:
		rec.sayf("the rule held")
		return exitHeld
	}
	rec.sayf("the rule was broken")
	return exitBroken
}
