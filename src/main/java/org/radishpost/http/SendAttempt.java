package org.radishpost.http;

import java.util.concurrent.atomic.AtomicReference;
import org.radishpost.errors.ConnectionLostException;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.RequestBodyException;
import org.radishpost.errors.ResponseTimeoutException;
import org.radishpost.lib.Endpoint;
import reactor.core.publisher.Mono;

/**
 * One attempt to send a call. Guarantees that an attempt that failed before it was sent never sends
 * any bytes later.
 *
 * <p>Thread-safe.
 */
final class SendAttempt {
  private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.WAITING);
  private volatile Throwable bodyFailure;

  private enum Stage {
    WAITING,
    SENDING,
    ABANDONED
  }

  /** Starts sending. Returns false if the attempt has already failed. */
  boolean tryStart() {
    return stage.compareAndSet(Stage.WAITING, Stage.SENDING);
  }

  /** Returns the error for an attempt that failed before it obtained a connection. */
  Mono<Void> abandoned() {
    return Mono.error(ResponseTimeoutSignal::new);
  }

  /** Records that the request body failed. */
  void recordBodyFailure(Throwable error) {
    bodyFailure = error;
  }

  /**
   * Returns the exception for a failure.
   *
   * @return {@link NotConnectedException} if no byte was sent; in that case none is sent later
   */
  RadishpostException toException(Throwable error, Endpoint address) {
    if (stage.compareAndSet(Stage.WAITING, Stage.ABANDONED)) {
      return new NotConnectedException(
          "No connection to " + address + ": check that the process listens there.", error);
    }
    if (bodyFailure != null) {
      return new RequestBodyException(
          "The request body failed before it was complete. The caller must send the request again.",
          bodyFailure);
    }
    return switch (error) {
      case RadishpostException known -> known;
      case ResponseTimeoutSignal timeout ->
          new ResponseTimeoutException(
              "No response from " + address + " in time: check its load and its log.");
      default ->
          new ConnectionLostException(
              "The connection to " + address + " was lost: check the log of the process there.",
              error);
    };
  }

  /** Signals that no response arrived before the timeout. Used only inside this package. */
  static final class ResponseTimeoutSignal extends Exception {
    private static final long serialVersionUID = 1L;

    ResponseTimeoutSignal() {
      super("timed out", null, false, false);
    }
  }
}
