package org.radishpost.placement;

/** What an entry that was read from the registry means for what is known of its target. */
public enum EntryEffect {
  /** It changes what is known. */
  CHANGED,
  /** It only shows that the target still runs. */
  RENEWED,
  /** It is older than what is known, and is not used. */
  SUPERSEDED
}
