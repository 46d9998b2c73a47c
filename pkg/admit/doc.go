// Package admit decides which calls an executing node runs, keeps waiting or refuses.
package admit
