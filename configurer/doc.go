// Package configurer decides which published configuration is in force.
package configurer
