// Command baobab-node runs one role of the system on the users' platform.
package main

import "github.com/baobabshore/baobabshore/platform"

func main() { platform.Main() }
