// Command baobab-control runs a control node.
package main

import (
	"github.com/baobabshore/baobabshore/control/daemon"
	"github.com/baobabshore/baobabshore/runner"
	"github.com/baobabshore/baobabshore/settings"
)

func main() { runner.Main("control", settings.LoadControl, daemon.Run) }
