// Command standin provides small stand-ins for the systems around apricotflow, and load.
package main

func main() {
}
