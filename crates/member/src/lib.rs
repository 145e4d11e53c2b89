//! Membership of VMs from the VM list and from fresher evidence.
