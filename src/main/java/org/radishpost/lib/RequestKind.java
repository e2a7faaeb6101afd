package org.radishpost.lib;

/** What a request does, as operators and reports group it. */
public enum RequestKind {
  /** A lookup or other read. */
  READ,
  /** A change that may not be repeated, such as a signing, a payment, a dispatch or an invoice. */
  COMMIT,
  /** A large body sent to the target. */
  UPLOAD
}
