// Package budget bounds the memory that bodies of several requests or responses take together.
package budget
