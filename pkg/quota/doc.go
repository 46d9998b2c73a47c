// Package quota shares a fleet-wide allowance of repeated requests among nodes without their talking to each other.
package quota
