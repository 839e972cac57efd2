// Package commander implements the commands of clementinectl.
//
// The function commands in root.go lists their constructors.
package commander
