// Command apricotflow is a query tier over many shards.
package main

func main() {
}
