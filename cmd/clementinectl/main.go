// Command clementinectl checks, explains, demonstrates and measures a clementineramp fleet.
package main

import "fmt"

func main() {
	fmt.Println("clementinectl: no command is built yet")
}
