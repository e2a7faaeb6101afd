package org.radishpost.admin;

import java.util.Optional;
import org.radishpost.membership.Member;

/**
 * The state of a VM as seen by the VM that reports it.
 *
 * @param member the VM
 * @param linked whether a link to it is established; true for the reporting VM itself
 * @param configVersion the configuration version that it announced last, if any
 */
public record MemberStatus(Member member, boolean linked, Optional<Long> configVersion) {}
