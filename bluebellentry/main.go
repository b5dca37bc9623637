// Command bluebellentry is the entry process, one per entry VM. It accepts calls, routes
// them to endpoints, and is a voter of the replicated state if the VM has a data folder.
package main

import "bluebellhaven.org/bluebellentry/bluebellmain"

func main() { bluebellmain.Main() }
