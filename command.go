package main

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"gypsumbank/settings"
)

// Env holds the output streams of a command.
type Env struct {
	Out io.Writer
	Err io.Writer
}

// action runs a command after its arguments are parsed.
type action func(ctx context.Context, env Env) error

// command is one command of the program. Its setup adds flags, arguments and subcommands, and registers the actions
// under the full names of the commands.
type command struct {
	name  string
	help  string
	setup func(clause *kingpin.CmdClause, actions map[string]action)
}

// commands returns all commands in the order in which the help text lists them.
func commands() []command {
	return []command{
		cmdEntry,
		cmdSidecar,
		cmdGateway,
		cmdAgent,
		cmdPlans,
		cmdAllowances,
		cmdStatus,
		cmdUsage,
		cmdTimeline,
		cmdTrace,
		cmdExplain,
		cmdDemo,
		cmdLoad,
		cmdStandin,
	}
}

// run parses the arguments and runs the selected command until it ends or ctx is done.
func run(ctx context.Context, args []string, out, errOut io.Writer) error {
	app := kingpin.New("gypsumbank", "Serves many models on fewer accelerators.")
	app.UsageWriter(out).ErrorWriter(errOut)
	app.HelpFlag.Short('h')
	helpShown := false
	app.Terminate(func(int) { helpShown = true })
	actions := map[string]action{}
	for _, c := range commands() {
		c.setup(app.Command(c.name, c.help), actions)
	}
	selected, err := app.Parse(args)
	if helpShown {
		return nil
	}
	if err != nil {
		return fmt.Errorf("%w; see gypsumbank --help", err)
	}
	return actions[selected](ctx, Env{Out: out, Err: errOut})
}

// configFlag adds the flag for the path of the settings file.
func configFlag(clause *kingpin.CmdClause) *string {
	return clause.Flag("config", "File with the settings of the process or command.").Short('c').Required().PlaceHolder("FILE").String()
}

// loadConfig reads the settings file and checks that it holds the section of the role; section is empty for commands
// that have no role.
func loadConfig(path, section string) (*settings.Config, error) {
	config, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	return config, checkSection(config, path, section)
}

// checkSection returns an error if the settings from path lack the section of a role.
func checkSection(config *settings.Config, path, section string) error {
	sectionPresent := map[string]bool{
		"entry":   config.Entry.Listen != "",
		"sidecar": config.Sidecar.Target != "",
		"gateway": config.Gateway.Listen != "",
		"agent":   config.Agent.Listen != "",
	}
	if section != "" && !sectionPresent[section] {
		return fmt.Errorf("%s: section [%s] with the settings of this role is missing", path, section)
	}
	return nil
}
