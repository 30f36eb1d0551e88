// Command plantainlane.
package main

func main() {}
