package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.Optional;
import org.radishpost.lib.Digest;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * The body of a request: a first part kept in memory, and the rest read while it is sent.
 *
 * <p>Until {@link #allowRemainder()} is called only the first part is sent, as often as wanted, so
 * that the call can go elsewhere. The rest follows after that, once; when any of it has been asked
 * for, the body cannot be sent again. Thread-safe.
 */
public final class CallBody {
  private final byte[] prefix;
  private final Optional<BodyReader> remainder;
  private final Sinks.Empty<Void> remainderAllowed = Sinks.empty();

  CallBody(byte[] prefix, Optional<BodyReader> remainder) {
    this.prefix = prefix;
    this.remainder = remainder;
  }

  /** Returns a body that is wholly in memory. */
  public static CallBody buffered(byte[] bytes) {
    return new CallBody(bytes, Optional.empty());
  }

  /** Tells whether all of the body is in memory, so that it can be sent again. */
  public boolean isBuffered() {
    return remainder.isEmpty();
  }

  /** Tells whether no part of the body is used up, so that the call can go to another pool. */
  public boolean canReroute() {
    return remainder.isEmpty() || !remainder.get().remainderRequested();
  }

  /** Tells whether there are no bytes at all. */
  public boolean isEmpty() {
    return prefix.length == 0 && remainder.isEmpty();
  }

  /** Returns the digest of the body when all of it is in memory. */
  public Optional<Digest> digest() {
    return isBuffered() ? Optional.of(Digest.of(prefix)) : Optional.empty();
  }

  /** Lets the rest of the body follow: a target has the call. */
  public void allowRemainder() {
    remainderAllowed.tryEmitEmpty();
  }

  /**
   * Returns the bytes to send, without copying those in memory.
   *
   * @return the bytes; {@link org.radishpost.errors.RequestBodyException} instead of the rest when
   *     that was asked for before
   */
  public Flux<ByteBuf> stream() {
    Mono<ByteBuf> prefixBuffer = Mono.fromSupplier(() -> Unpooled.wrappedBuffer(prefix));
    if (remainder.isEmpty()) {
      return prefix.length == 0 ? Flux.empty() : prefixBuffer.flux();
    }
    return prefixBuffer.concatWith(remainderAllowed.asMono().thenMany(remainder.get().remainder()));
  }

  /** Stops reading if nobody has asked for the rest. */
  public void cancelUnread() {
    remainder.ifPresent(BodyReader::cancelIfUnrequested);
  }

  /** Reads the first part of a body, up to the first bytes beyond the bound. */
  static Mono<CallBody> read(Flux<ByteBuf> source, int maxPrefixBytes) {
    return BodyReader.read(source, maxPrefixBytes);
  }

  static byte[] toBytes(ByteBuf buffer) {
    return ByteBufUtil.getBytes(buffer);
  }
}
