package org.radishpost.link;

import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.radishpost.errors.LinkException;

/**
 * One frame of an authenticated link: four MessagePack integers and a body.
 *
 * @param kind the purpose of the frame
 * @param type the number of the message type, 0 for none; in an error, the number of the {@link
 *     ErrorCode}
 * @param version the version of the message layout
 * @param correlationId matches a response or an error to its request, 0 for none
 * @param body the message in MessagePack; must not be modified
 */
record Frame(Kind kind, int type, int version, long correlationId, byte[] body) {
  /** Maximum length of a frame on an authenticated link, with its MAC. */
  static final int MAX_BYTES = 1024 * 1024;

  /** Maximum length of a frame during the handshake. */
  static final int MAX_UNAUTHENTICATED_BYTES = 64 * 1024;

  /** The purpose of a frame; the ordinal is sent, so the order is fixed. */
  enum Kind {
    /** A {@link HeartbeatBody}. */
    HEARTBEAT,
    /** A message that expects no response. */
    NOTIFICATION,
    /** A message that expects a {@link #RESPONSE} or an {@link #ERROR}. */
    REQUEST,
    /** The response to a request. */
    RESPONSE,
    /** The request failed; the type is the {@link ErrorCode}. */
    ERROR,
    /** The sender no longer needs the link; the receiver closes it. */
    RELEASE;

    private static final Kind[] ALL = values();
  }

  /** Why a request failed; the ordinal is sent, so the order is fixed. */
  enum ErrorCode {
    /** The peer does not support the type or version of the message. */
    UNSUPPORTED,
    /** The peer has too many requests in progress. */
    BUSY,
    /** The peer failed to handle the request. */
    FAILED;

    private static final ErrorCode[] ALL = values();

    /** Returns the error code with the number, or {@link #FAILED} for an unknown number. */
    static ErrorCode fromNumber(int number) {
      return number >= 0 && number < ALL.length ? ALL[number] : FAILED;
    }
  }

  /** Returns a frame without a body. */
  static Frame empty(Kind kind) {
    return new Frame(kind, 0, 0, 0, new byte[0]);
  }

  /** Returns the error for a request. */
  static Frame error(ErrorCode errorCode, long correlationId) {
    return new Frame(Kind.ERROR, errorCode.ordinal(), 0, correlationId, new byte[0]);
  }

  /** Returns a frame that contains a message. */
  static Frame of(Kind kind, LinkMessage message, long correlationId) {
    MessageType type = MessageType.of(message);
    return new Frame(kind, type.number, type.version, correlationId, LinkMapper.write(message));
  }

  /**
   * Returns the message of the frame, or empty if this release does not support its type in that
   * version.
   *
   * @throws LinkException if the body is not a message of that type
   */
  Optional<LinkMessage> message() throws LinkException {
    Optional<MessageType> knownType = MessageType.find(type, version);
    return knownType.isEmpty()
        ? Optional.empty()
        : Optional.of(LinkMapper.read(body, knownType.get().messageClass));
  }

  byte[] encode() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(kind.ordinal());
      packer.packInt(type);
      packer.packInt(version);
      packer.packLong(correlationId);
      packer.writePayload(body);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing MessagePack into memory failed", e);
    }
  }

  static Frame decode(byte[] bytes) throws LinkException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int kind = unpacker.unpackInt();
      int type = unpacker.unpackInt();
      int version = unpacker.unpackInt();
      long correlationId = unpacker.unpackLong();
      if (kind < 0 || kind >= Kind.ALL.length) {
        throw corrupt(null);
      }
      byte[] body = unpacker.readPayload(bytes.length - (int) unpacker.getTotalReadBytes());
      return new Frame(Kind.ALL[kind], type, version, correlationId, body);
    } catch (IOException | MessagePackException e) {
      throw corrupt(e);
    }
  }

  private static LinkException corrupt(Exception cause) {
    return new LinkException(
        "A frame is corrupt. Check that both VMs run a release of radishpost.", cause);
  }
}
