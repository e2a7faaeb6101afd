package org.radishpost.node;

/** Hears whether a call that waits for a target is sent or not. */
interface SendWatch {
  /** Hears nothing. */
  SendWatch NONE =
      new SendWatch() {
        @Override
        public void taken() {}

        @Override
        public void withdrawn() {}
      };

  /** The call is about to be sent; comes at most once and never with {@link #withdrawn}. */
  void taken();

  /** The caller went away before the call was sent; it never will be. */
  void withdrawn();
}
