package org.radishpost.soak;

/** Who ended an attempt that got no complete response, as far as the soak knows. */
enum LossCause {
  /** The proxy before the entry delayed, dropped or reset data, or found no entry. */
  LINK,
  /** The soak paused, stopped or started the entry meanwhile. */
  PROCESS,
  /** The entry closed the connection. */
  ENTRY,
  /** The caller, after its own limit; nothing that the soak did explains the silence. */
  LIMIT
}
