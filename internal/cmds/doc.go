// Package cmds holds the commands of the program, one type each.
package cmds
