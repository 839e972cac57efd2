// Package loader reads the settings of a daemon from a JSON file with comments.
package loader
