package org.radishpost.lib;

/** The kind of a request, by which operators and reports group requests. */
public enum RequestKind {
  /** A lookup or another read. */
  READ,
  /** A change that must not be repeated, such as a signing, a payment, a dispatch or an invoice. */
  COMMIT,
  /** A request that sends a large body to the target. */
  UPLOAD
}
