// Command measure runs the experiments and prints one JSON object a line.
package main

func main() {}
