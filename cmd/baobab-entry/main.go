// Command baobab-entry runs the entry daemon.
package main

import (
	"github.com/baobabshore/baobabshore/entry"
	"github.com/baobabshore/baobabshore/runner"
	"github.com/baobabshore/baobabshore/settings"
)

func main() { runner.Main("entry", settings.LoadEntry, entry.Run) }
