// Command baobab-node runs one role of baobabshore, as its argument says, on the users'
// platform.
package main

import "github.com/baobabshore/baobabshore/platform"

func main() { platform.Main() }
