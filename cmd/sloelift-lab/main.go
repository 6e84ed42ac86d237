// Command sloelift-lab is described in docs/architecture.md.
package main

func main() {}
