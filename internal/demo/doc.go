// Package demo runs one of the shipped examples in this process, on loopback.
package demo
