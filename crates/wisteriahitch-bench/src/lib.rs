//! Open-loop load and experiment tool of wisteriahitch, for development only.
