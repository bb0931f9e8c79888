package main

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"gypsumbank/settings"
)

// Env is what a command gets from its surroundings.
type Env struct {
	Out io.Writer
	Err io.Writer
}

// action runs a command after its arguments are parsed.
type action func(ctx context.Context, env Env) error

// command is one command of the program.
type command struct {
	name  string
	help  string
	setup func(clause *kingpin.CmdClause, actions map[string]action)
}

// commands lists all commands in the order of the help text.
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
		cmdDemo,
		cmdLoad,
		cmdStandin,
	}
}

func run(ctx context.Context, args []string, out, errOut io.Writer) error {
	app := kingpin.New("gypsumbank", "Serves many models on fewer accelerators.")
	app.UsageWriter(out).ErrorWriter(errOut)
	app.HelpFlag.Short('h')
	helped := false
	app.Terminate(func(int) { helped = true })
	actions := map[string]action{}
	for _, c := range commands() {
		c.setup(app.Command(c.name, c.help), actions)
	}
	selected, err := app.Parse(args)
	if helped {
		return nil
	}
	if err != nil {
		return fmt.Errorf("%w; see gypsumbank --help", err)
	}
	return actions[selected](ctx, Env{Out: out, Err: errOut})
}

// configFlag adds the flag for the file of settings.
func configFlag(clause *kingpin.CmdClause) *string {
	return clause.Flag("config", "File with the settings of the process.").Short('c').Required().PlaceHolder("FILE").String()
}

func loadConfig(path, section string) (*settings.Config, error) {
	config, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	present := map[string]bool{
		"entry":   config.Entry.Listen != "",
		"sidecar": config.Sidecar.Target != "",
		"gateway": config.Gateway.Listen != "",
		"agent":   config.Agent.Listen != "",
	}
	if section != "" && !present[section] {
		return nil, fmt.Errorf("%s: [%s] is missing; allowed: the section with the settings of the role", path, section)
	}
	return config, nil
}
