//! Cache blocks in accelerator memory and in the tiers of store VMs.
