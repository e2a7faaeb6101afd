package org.radishpost.feed;

/** The feeds that VMs pass on. */
public enum Feed {
  /** What the operators want: the configuration and the zones out of service. */
  OPERATORS,
  /** The entries of the targets. */
  TARGETS
}
