// Command magnolia-load is a part of magnoliawall.
package main

func main() {}
