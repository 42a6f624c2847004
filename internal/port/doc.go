// Package port holds the interfaces between the cores and the world outside.
package port
