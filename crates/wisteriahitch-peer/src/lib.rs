//! Protocol between the daemons of wisteriahitch, over gRPC.
