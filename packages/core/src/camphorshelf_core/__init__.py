"""Decision logic, messages, result codes and protocol state machines, without I/O."""
