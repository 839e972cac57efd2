// Package commander holds the commands of clementinectl.
//
// Each command has a file of its own with a constructor, which the function
// commands in root.go lists.
package commander
