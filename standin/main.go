// Command standin is described in its README section.
package main

func main() {}
