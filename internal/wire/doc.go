// Package wire names the headers of the product and turns envelopes, feedback and refusals into them and back.
package wire
