// Command baobab-agent runs the agent daemon.
package main

import (
	"github.com/baobabshore/baobabshore/agent"
	"github.com/baobabshore/baobabshore/runner"
	"github.com/baobabshore/baobabshore/settings"
)

func main() { runner.Main("agent", settings.LoadAgent, agent.Run) }
