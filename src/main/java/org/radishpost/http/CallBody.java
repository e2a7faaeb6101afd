package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.Arrays;
import java.util.Optional;
import org.radishpost.lib.Digest;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * A request body whose first part is buffered and whose remainder is read while it is sent.
 *
 * <p>Until {@link #allowRemainder()} is called, {@link #stream()} emits only the first part. The
 * stream can be subscribed to repeatedly, which allows the call to be sent to another pool. After
 * that, the remainder is sent to one subscriber only: once it has been requested, the body cannot
 * be sent again. Thread-safe.
 */
public final class CallBody {
  /** Less than is ever buffered of a body that has a remainder. */
  private static final int DIGESTED_PREFIX_BYTES = 65_536;

  private final byte[] prefix;
  private final Optional<BodyReader> remainder;
  private final Sinks.Empty<Void> remainderAllowed = Sinks.empty();

  CallBody(byte[] prefix, Optional<BodyReader> remainder) {
    this.prefix = prefix;
    this.remainder = remainder;
  }

  /** Returns a body that is entirely in memory. */
  public static CallBody buffered(byte[] bytes) {
    return new CallBody(bytes, Optional.empty());
  }

  /** Returns whether the entire body is in memory, which allows it to be sent again. */
  public boolean isBuffered() {
    return remainder.isEmpty();
  }

  /**
   * Returns whether the call can still be sent to another pool, because no part of the remainder
   * has been requested.
   */
  public boolean canReroute() {
    return remainder.isEmpty() || !remainder.get().remainderRequested();
  }

  /** Returns whether the body has no bytes. */
  public boolean isEmpty() {
    return prefix.length == 0 && remainder.isEmpty();
  }

  /** Returns the digest of the body, or empty if part of the body is not in memory. */
  public Optional<Digest> digest() {
    return isBuffered() ? Optional.of(Digest.of(prefix)) : Optional.empty();
  }

  /** Returns the digest of the first bytes of the body, of all of it if it is short. */
  public Digest prefixDigest() {
    return Digest.of(Arrays.copyOf(prefix, Math.min(prefix.length, DIGESTED_PREFIX_BYTES)));
  }

  /** Allows the remainder of the body to be sent. Call this when a target has accepted the call. */
  public void allowRemainder() {
    remainderAllowed.tryEmitEmpty();
  }

  /**
   * Returns the bytes to send. The buffered part is not copied.
   *
   * @return the bytes; fails with {@link org.radishpost.errors.RequestBodyException} after the
   *     first part if the remainder was requested before
   */
  public Flux<ByteBuf> stream() {
    Mono<ByteBuf> prefixBuffer = Mono.fromSupplier(() -> Unpooled.wrappedBuffer(prefix));
    if (remainder.isEmpty()) {
      return prefix.length == 0 ? Flux.empty() : prefixBuffer.flux();
    }
    return prefixBuffer.concatWith(remainderAllowed.asMono().thenMany(remainder.get().remainder()));
  }

  /** Stops reading the body unless its remainder has been requested. */
  public void cancelUnread() {
    remainder.ifPresent(BodyReader::cancelIfUnrequested);
  }

  /** Reads a body until it ends or more than {@code maxPrefixBytes} bytes are buffered. */
  static Mono<CallBody> read(Flux<ByteBuf> source, int maxPrefixBytes) {
    return BodyReader.read(source, maxPrefixBytes);
  }

  static byte[] toBytes(ByteBuf buffer) {
    return ByteBufUtil.getBytes(buffer);
  }
}
