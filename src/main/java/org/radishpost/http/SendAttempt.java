package org.radishpost.http;

import io.netty.channel.Channel;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.radishpost.errors.ConnectionLostException;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.RequestBodyException;
import org.radishpost.errors.ResponseTimeoutException;
import org.radishpost.lib.Endpoint;
import reactor.core.publisher.Mono;
import reactor.netty.FutureMono;

/**
 * One attempt to send a call. Guarantees that an attempt that failed before it was sent never sends
 * any bytes later.
 *
 * <p>Thread-safe.
 */
final class SendAttempt {
  private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.WAITING);
  private volatile Throwable bodyFailure;
  private volatile Optional<Channel> rejectedConnection = Optional.empty();

  private enum Stage {
    WAITING,
    SENDING,
    ABANDONED
  }

  /** Rejects the connection that was obtained: it must not carry the request. */
  void rejectConnection(Channel connection) {
    rejectedConnection = Optional.of(connection);
  }

  /** Closes the rejected connection, so that the pool does not return it again. */
  Mono<Void> closeRejectedConnection() {
    Channel connection = rejectedConnection.orElseThrow();
    rejectedConnection = Optional.empty();
    return FutureMono.deferFuture(connection::close);
  }

  /**
   * Starts sending. Returns false if the attempt has already failed, or if it needs another
   * connection.
   */
  boolean tryStart() {
    return rejectedConnection.isEmpty() && stage.compareAndSet(Stage.WAITING, Stage.SENDING);
  }

  /** Returns the error for an attempt that was not started. */
  Mono<Void> notStarted() {
    return Mono.error(
        rejectedConnection.isPresent() ? OtherConnectionSignal::new : ResponseTimeoutSignal::new);
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

  /** Signals that the request needs another connection. Used only inside this package. */
  static final class OtherConnectionSignal extends Exception {
    private static final long serialVersionUID = 1L;

    OtherConnectionSignal() {
      super("the connection has carried the same request before", null, false, false);
    }
  }

  /** Signals that no response arrived before the timeout. Used only inside this package. */
  static final class ResponseTimeoutSignal extends Exception {
    private static final long serialVersionUID = 1L;

    ResponseTimeoutSignal() {
      super("timed out", null, false, false);
    }
  }
}
