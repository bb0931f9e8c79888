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

const diffContext = 2

var versionLine = regexp.MustCompile(`(?m)^version\s*=\s*\d+[ \t]*$`)

var errNoVersion = errors.New("the line \"version = N\" is missing before the first section; allowed: the version that show prints")

var cmdPlans = command{
	name:  "plans",
	help:  "Show and edit the list of customers' plans.",
	setup: setupList(operator.Plans),
}

var cmdAllowances = command{
	name:  "allowances",
	help:  "Show and edit the list of what each plan may use.",
	setup: setupList(operator.Allowances),
}

// listEdit is a file with a list.
type listEdit struct {
	list string
	path string
	text []byte
	base uint64
}

func setupList(list string) func(*kingpin.CmdClause, map[string]action) {
	return func(clause *kingpin.CmdClause, actions map[string]action) {
		show := clause.Command("show", "Print the list that is accepted now.")
		showConfig := configFlag(show)
		actions[show.FullCommand()] = func(ctx context.Context, env Env) error {
			return withOperator(*showConfig, func(o *operator.Operator) error { return showList(ctx, o, list, env.Out) })
		}
		check := clause.Command("check", "Check a file without sending it.")
		checkFile := check.Arg("file", "File with the list.").Required().String()
		actions[check.FullCommand()] = func(_ context.Context, env Env) error {
			if _, err := readList(list, *checkFile); err != nil {
				return err
			}
			fmt.Fprintf(env.Out, "%s: ok\n", *checkFile)
			return nil
		}
		diff := clause.Command("diff", "Print how a file differs from the list that is accepted now.")
		diffConfig := configFlag(diff)
		diffFile := diff.Arg("file", "File with the list.").Required().String()
		actions[diff.FullCommand()] = func(ctx context.Context, env Env) error {
			return withOperator(*diffConfig, func(o *operator.Operator) error { return diffList(ctx, o, list, *diffFile, env.Out) })
		}
		apply := clause.Command("apply", "Make a file the list, wait until it is in force everywhere and update the version in the file.")
		applyConfig := configFlag(apply)
		applyFile := apply.Arg("file", "File with the list.").Required().String()
		keepFile := apply.Flag("keep-file", "Leave the version in the file as it is.").Bool()
		actions[apply.FullCommand()] = func(ctx context.Context, env Env) error {
			return withOperator(*applyConfig, func(o *operator.Operator) error {
				return applyList(ctx, o, list, *applyFile, *keepFile, env.Out)
			})
		}
	}
}

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
	edit, err := readList(list, path)
	if err != nil {
		return err
	}
	current, err := o.Current(ctx)
	if err != nil {
		return err
	}
	fmt.Fprint(out, difference(current, edit))
	return nil
}

func applyList(ctx context.Context, o *operator.Operator, list, path string, keepFile bool, out io.Writer) error {
	edit, err := readList(list, path)
	if err != nil {
		return err
	}
	applied, err := o.Apply(ctx, list, edit.text, edit.base)
	if errors.Is(err, operator.ErrConflict) {
		return conflict(ctx, o, edit, err, out)
	}
	if applied == nil {
		return err
	}
	fmt.Fprintf(out, "accepted: %s version %d\n", list, applied.ListVersion)
	printZones(out, "in force in", applied.InForce)
	printZones(out, "not confirmed in", applied.Unconfirmed)
	if !keepFile {
		if writeErr := os.WriteFile(path, withVersion(edit.text, applied.ListVersion), 0o644); writeErr != nil {
			return fmt.Errorf("accepted, but the version in the file was not updated: %w", writeErr)
		}
	}
	return err
}

func conflict(ctx context.Context, o *operator.Operator, edit listEdit, cause error, out io.Writer) error {
	current, err := o.Current(ctx)
	if err != nil {
		return cause
	}
	fmt.Fprint(out, difference(current, edit))
	return cause
}

func readList(list, path string) (listEdit, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return listEdit{}, err
	}
	edit := listEdit{list: list, path: path, text: text}
	if list == operator.Plans {
		parsed, err := plan.New(path, text)
		if err != nil {
			return edit, err
		}
		edit.base = parsed.Version()
	} else {
		parsed, err := allowance.New(path, text)
		if err != nil {
			return edit, err
		}
		edit.base = parsed.Version()
	}
	if !versionLine.Match(text) {
		return edit, fmt.Errorf("%s: %w", path, errNoVersion)
	}
	return edit, nil
}

// currentText returns a list as accepted, with its present version.
func currentText(current *snapshot.Snapshot, list string) []byte {
	message := current.Message()
	text, version := current.PlansText(), message.GetPlansVersion()
	if list == operator.Allowances {
		text, version = current.AllowancesText(), message.GetAllowancesVersion()
	}
	if len(text) == 0 {
		text = []byte("version = 0\n")
	}
	return withVersion(text, version)
}

func withVersion(text []byte, version uint64) []byte {
	return versionLine.ReplaceAll(text, []byte("version = "+strconv.FormatUint(version, 10)))
}

func difference(current *snapshot.Snapshot, edit listEdit) string {
	diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(string(currentText(current, edit.list))),
		B:        difflib.SplitLines(string(edit.text)),
		FromFile: "accepted",
		ToFile:   edit.path,
		Context:  diffContext,
	})
	if err != nil {
		return ""
	}
	return diff
}

func printZones(out io.Writer, label string, byZone map[string][]string) {
	zones := make([]string, 0, len(byZone))
	for zone := range byZone {
		zones = append(zones, zone)
	}
	sort.Strings(zones)
	for _, zone := range zones {
		fmt.Fprintf(out, "%s %s: %s\n", label, zone, strings.Join(byZone[zone], ", "))
	}
}
