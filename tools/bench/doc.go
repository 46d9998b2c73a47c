// Command bench measures fleets of real node processes against baselines and writes tables, JSON and plots.
package main
