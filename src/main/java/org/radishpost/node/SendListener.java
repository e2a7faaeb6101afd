package org.radishpost.node;

/** Hears whether a call that waits for a target is sent or not. */
interface SendListener {
  /** Hears nothing. */
  SendListener NONE =
      new SendListener() {
        @Override
        public void beforeSend() {}

        @Override
        public void onWithdrawn() {}
      };

  /** The call is about to be sent; comes at most once and never with {@link #onWithdrawn}. */
  void beforeSend();

  /** The caller went away before the call was sent; it never will be. */
  void onWithdrawn();
}
