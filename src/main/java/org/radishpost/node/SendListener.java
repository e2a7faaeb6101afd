package org.radishpost.node;

/** Notified when a queued call is sent or withdrawn. */
interface SendListener {
  /** Ignores both notifications. */
  SendListener NONE =
      new SendListener() {
        @Override
        public void beforeSend() {}

        @Override
        public void onWithdrawn() {}
      };

  /**
   * Called at most once, immediately before the call is sent; never if {@link #onWithdrawn} is
   * called.
   */
  void beforeSend();

  /** Called at most once, if the call is cancelled before it is sent. */
  void onWithdrawn();
}
