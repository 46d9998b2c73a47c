// Package pulse tells a backend server that has stopped answering from one that works for long.
package pulse
