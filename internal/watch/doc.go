// Package watch decides when and how a gateway calls discovery. It is a pure state machine without I/O, clock or
// goroutines. The caller asks it for the next call, makes that call, reports the outcome, and pauses as the result
// says.
//
// # Maximum update delay
//
// A gateway must receive a change at most 6 s after discovery has it and can be reached. A change that a silent watch
// misses must be received at most 6 s after the watch fell silent, or 2 s after the end of its wait if that is later.
// This holds whatever calls failed, were refused or timed out in between.
//
// The table lists all paths from that moment to the answer, with each pause at its maximum, for a gateway that calls
// discovery itself. "queue" is how long a call waits in discovery's queue: 0 if discovery is idle, 2 s if its queue is
// full.
//
//	pause after refusals 2.5 s, call                                         2.5 s + queue
//	call that times out 2.2 s, pause 0.3 s, call                             2.5 s + queue
//	call that times out, pause, refusal, pause that ends at 5 s, call        5.0 s + queue
//	pause after a failed call 1 s, call                                      1.0 s + queue
//	pause after a failed call 1 s, refusal, pause 2.5 s, call                3.5 s + queue
//	silent watch 4.5 s, pause 0.05 s, call                                   4.55 s + queue
//	silent watch, refusal, pause that ends at 5 s, call                      5.0 s + queue
//	discovery restarted its versions: the call for the full list in addition + queue
//
// With a full queue these paths take at most 4.5 s, with three exceptions. A refusal after a failed call makes 5.5 s. A
// silent watch leaves 1.5 s for the queue. A refusal after a call that timed out or after a silent watch leaves 1 s. A
// path is longer only if discovery refuses twice after the moment from which the delay is counted. A discovery that
// keeps refusing is serving other callers; the gateway then tries again at most 0.8, 2.4 and 4.9 s after the first
// refusal. With an agent on the gateway's machine a call times out after 0.2 s and no pause follows. All other pauses
// with an agent, except those after refusals, are at most 0.05 s.
//
// # Slow answers
//
// A call that times out is not given up at once: it stays open, and its answer is used if it still comes (Pacer.KeepOpen,
// Pacer.LateAnswer). Until then the calls follow one another as if it had been lost. Otherwise a gateway would repeat the
// same call for good if each answer took longer than the call's timeout, and would never receive a change. At most
// MaxLateCalls calls stay open beside the current one, each for MaxUpdateDelay or longer. They cause no further calls,
// except for the watch that follows a late answer at once.
//
// If each answer takes a time d, a change is received within 6 s where d is at most 4 s with an agent, or 3 s without one
// or where the headers come at once and the rest later. This holds also after a discovery that was silent for 5 s or
// longer or that reset connections. The list of a new address is received within 4 s where d is at most 3.5 s. A discovery
// that refuses calls, each after a time d, leaves 2.8 s for d. A watch that is lost is missed only after its wait, which
// leaves 1.4 s for d.
//
// # Required capacity of discovery
//
// Each gateway makes one call every 4 s and one more for each change. An event that affects all gateways makes all of
// them call at once. With n gateways, discovery has to serve n/4 calls a second in steady operation. If it serves n/2
// calls a second, its queue of 2 s holds a call of each gateway: then no calls are refused for long, and all paths
// above hold. At 0.3 n calls a second, 90 % of the gateways received changes within 9 s and all within 15 s in the
// model of the tests. Below n/4, calls are refused for as long as that lasts, and the gateways receive changes one
// after another: all refused gateways together make at most n/1.25 calls a second. Queued calls are not given up, so
// discovery does almost no work for callers that have left.
//
// # Agents
//
// An agent on the gateway's machine does not answer while discovery is down. A change that it gets when discovery
// returns must be received at once. So the calls that find out whether the agent is back follow one another without a
// pause. The next call goes out after at most 0.2 s, which the drain grace of 0.25 s has to cover. The first call of a
// process is also such a call, because a watch can't distinguish a silent agent from a server list that does not
// change.
package watch
