// Command magnoliad is a part of magnoliawall.
package main

func main() {}
