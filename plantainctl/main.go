// Command plantainctl is described in its README section.
package main

func main() {}
