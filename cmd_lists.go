package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pmezard/go-difflib/difflib"

	"gypsumbank/allowance"
	"gypsumbank/operator"
	"gypsumbank/plan"
	"gypsumbank/snapshot"
)

const diffContext = 2 // lines

var versionLinePattern = regexp.MustCompile(`(?m)^version\s*=\s*\d+[ \t]*$`)

var errNoVersion = errors.New("the line \"version = N\" is missing before the first section; set it to the version that show prints")

var cmdPlans = command{
	name:  "plans",
	help:  "Show and edit the list that assigns a plan to each customer.",
	setup: setupList(operator.Plans),
}

var cmdAllowances = command{
	name:  "allowances",
	help:  "Show and edit the list of models, members' shares and what each plan allows.",
	setup: setupList(operator.Allowances),
}

// listFile is an operator's file with an edited list.
type listFile struct {
	list        string // operator.Plans or operator.Allowances
	path        string
	text        []byte
	baseVersion uint64 // version of the list that the edit is based on
}

// setupList returns the function that adds the subcommands for a list.
func setupList(list string) func(*kingpin.CmdClause, map[string]action) {
	return func(clause *kingpin.CmdClause, actions map[string]action) {
		show := clause.Command("show", "Print the currently accepted list.")
		showConfig := configFlag(show)
		actions[show.FullCommand()] = func(ctx context.Context, env Env) error {
			return withOperator(*showConfig, func(o *operator.Operator) error { return showList(ctx, o, list, env.Out) })
		}
		check := clause.Command("check", "Check the list in a file without applying it.")
		checkFile := check.Arg("file", "File with the list.").Required().String()
		actions[check.FullCommand()] = func(_ context.Context, env Env) error {
			if _, err := readList(list, *checkFile); err != nil {
				return err
			}
			fmt.Fprintf(env.Out, "%s: ok\n", *checkFile)
			return nil
		}
		diff := clause.Command("diff", "Print the differences between the currently accepted list and a file.")
		diffConfig := configFlag(diff)
		diffFile := diff.Arg("file", "File with the list.").Required().String()
		actions[diff.FullCommand()] = func(ctx context.Context, env Env) error {
			return withOperator(*diffConfig, func(o *operator.Operator) error { return diffList(ctx, o, list, *diffFile, env.Out) })
		}
		apply := clause.Command("apply", "Replace the list with the one in a file, wait until it is in force on all nodes and update the version in the file.")
		applyConfig := configFlag(apply)
		applyFile := apply.Arg("file", "File with the list.").Required().String()
		keepFile := apply.Flag("keep-file", "Do not update the version in the file.").Bool()
		actions[apply.FullCommand()] = func(ctx context.Context, env Env) error {
			return withOperator(*applyConfig, func(o *operator.Operator) error {
				return applyList(ctx, o, list, *applyFile, *keepFile, env.Out)
			})
		}
	}
}

// withOperator calls do with an operator for the deployment that the settings at configPath describe.
func withOperator(configPath string, do func(*operator.Operator) error) error {
	config, err := loadConfig(configPath, "")
	if err != nil {
		return err
	}
	o := operator.New(config)
	defer o.Close()
	return do(o)
}

func showList(ctx context.Context, o *operator.Operator, list string, out io.Writer) error {
	current, err := o.Current(ctx)
	if err != nil {
		return err
	}
	_, err = out.Write(currentText(current, list))
	return err
}

func diffList(ctx context.Context, o *operator.Operator, list, path string, out io.Writer) error {
	file, err := readList(list, path)
	if err != nil {
		return err
	}
	current, err := o.Current(ctx)
	if err != nil {
		return err
	}
	fmt.Fprint(out, diffAgainstCurrent(current, file))
	return nil
}

// applyList sends the list in the file and prints where it is in force. On a conflict it prints how the file differs
// from the list that was accepted in the meantime.
func applyList(ctx context.Context, o *operator.Operator, list, path string, keepFile bool, out io.Writer) error {
	file, err := readList(list, path)
	if err != nil {
		return err
	}
	applied, err := o.Apply(ctx, list, file.text, file.baseVersion)
	if errors.Is(err, operator.ErrConflict) {
		return reportConflict(ctx, o, file, err, out)
	}
	if applied == nil {
		return err
	}
	fmt.Fprintf(out, "accepted: %s version %d\n", list, applied.ListVersion)
	printNodesByZone(out, "in force in", applied.InForce)
	printNodesByZone(out, "not confirmed in", applied.Unconfirmed)
	if !keepFile {
		if writeErr := os.WriteFile(path, setVersion(file.text, applied.ListVersion), 0o644); writeErr != nil {
			return fmt.Errorf("list accepted, but the version in the file was not updated: %w", writeErr)
		}
	}
	return err
}

// reportConflict prints how the file differs from the accepted list, if that can be read, and returns conflictErr.
func reportConflict(ctx context.Context, o *operator.Operator, file listFile, conflictErr error, out io.Writer) error {
	current, err := o.Current(ctx)
	if err != nil {
		return conflictErr
	}
	fmt.Fprint(out, diffAgainstCurrent(current, file))
	return conflictErr
}

// readList reads a list from a file, checks it, and takes the base version from its version line.
func readList(list, path string) (listFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return listFile{}, err
	}
	file := listFile{list: list, path: path, text: text}
	if list == operator.Plans {
		parsed, err := plan.New(path, text)
		if err != nil {
			return file, err
		}
		file.baseVersion = parsed.Version()
	} else {
		parsed, err := allowance.New(path, text)
		if err != nil {
			return file, err
		}
		file.baseVersion = parsed.Version()
	}
	if !versionLinePattern.Match(text) {
		return file, fmt.Errorf("%s: %w", path, errNoVersion)
	}
	return file, nil
}

// currentText returns the text of the accepted list with its current version filled in, or an empty list at version 0.
func currentText(current *snapshot.Snapshot, list string) []byte {
	message := current.Message()
	text, version := current.PlansText(), message.GetPlansVersion()
	if list == operator.Allowances {
		text, version = current.AllowancesText(), message.GetAllowancesVersion()
	}
	if len(text) == 0 {
		text = []byte("version = 0\n")
	}
	return setVersion(text, version)
}

// setVersion returns the text with the number in its version line replaced.
func setVersion(text []byte, version uint64) []byte {
	return versionLinePattern.ReplaceAll(text, []byte("version = "+strconv.FormatUint(version, 10)))
}

// diffAgainstCurrent returns a unified diff from the accepted list to the file.
func diffAgainstCurrent(current *snapshot.Snapshot, file listFile) string {
	diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(string(currentText(current, file.list))),
		B:        difflib.SplitLines(string(file.text)),
		FromFile: "accepted",
		ToFile:   file.path,
		Context:  diffContext,
	})
	if err != nil {
		return ""
	}
	return diff
}

// printNodesByZone prints one line of node names per availability zone, in the order of the zones' names.
func printNodesByZone(out io.Writer, label string, byZone map[string][]string) {
	zones := make([]string, 0, len(byZone))
	for zone := range byZone {
		zones = append(zones, zone)
	}
	sort.Strings(zones)
	for _, zone := range zones {
		fmt.Fprintf(out, "%s %s: %s\n", label, zone, strings.Join(byZone[zone], ", "))
	}
}
