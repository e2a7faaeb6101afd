package org.radishpost.feed;

/** The feeds that relays forward to their followers. */
public enum Feed {
  /** The operators' desired state: the configuration and the zones that are out of service. */
  OPERATORS,
  /** The entries that targets have registered in the store. */
  TARGETS
}
