// Command soak plays seeds of the fault soak against the program of this work tree.
package main
