//! Daemon of wisteriahitch as a library: the shells that connect the decisions to the network.
