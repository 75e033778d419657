//! What reserving the cost of a request would lead to, without reserving it.

use wisteriapass_coord::prepaid::{ShareShortfall, TokenRequest};

use super::{Role, TokenLedger};
use crate::catalogue::Account;
use crate::explain::{MoneyAtHand, WaitSummary};
use crate::metadata::RequestMetadata;
use crate::refusal::Refusal;

/// Source of the tokens of a request that is not charged.
const NOT_CHARGED: &str = "not_charged";

/// What reserving the cost of a request would lead to.
#[derive(Clone, Debug, Default)]
pub(crate) struct MoneyCheck {
    /// Money of the account.
    pub at_hand: MoneyAtHand,
    /// The refusal, if the request is refused at once.
    pub refusal: Option<Refusal>,
    /// What it waits for, if its cost cannot be reserved at once.
    pub wait: Option<WaitSummary>,
}

impl TokenLedger {
    /// Returns what reserving the maximum cost of a request would lead to now. Reserves, asks for and
    /// records nothing.
    pub(crate) fn money_at_hand(
        &self,
        account: Option<&Account>,
        request: &RequestMetadata,
        rank: u8,
    ) -> MoneyCheck {
        let total = account.and_then(|account| account.prepaid);
        let (Some(account), Some(total)) = (account, total) else {
            let at_hand = MoneyAtHand {
                source: NOT_CHARGED.into(),
                ..MoneyAtHand::default()
            };
            return MoneyCheck {
                at_hand,
                ..MoneyCheck::default()
            };
        };
        let max_cost = request.work.map(|work| work.max_total());
        let token_request = TokenRequest {
            account: &account.name,
            rank,
            max_cost: max_cost.unwrap_or_default(),
        };
        let mut check = match self.role.get() {
            Role::Relay => self.check_share(token_request),
            Role::Follower | Role::Retiring => self.check_credit(token_request),
        };
        check.at_hand.total = Some(total);
        check.at_hand.max_cost = max_cost;
        if max_cost.is_none() {
            // A request without token counts is not charged, whatever is at hand.
            check.at_hand.source = NOT_CHARGED.into();
            check.at_hand.refusal_probability = None;
            check.refusal = None;
            check.wait = None;
        }
        check
    }

    /// Checks this router's own share.
    fn check_share(&self, request: TokenRequest<'_>) -> MoneyCheck {
        let TokenRequest {
            account, max_cost, ..
        } = request;
        let incarnation = self.incarnation();
        let group = incarnation.group(account);
        let status = group.account_status(account);
        let probability = self.refusal_probability(request);
        let short = group.shortfall_refusal(account, max_cost);
        let holder = group.holder.borrow();
        let (refusal, wait) = match holder.check(account, max_cost) {
            _ if probability >= 1.0 => (Some(Refusal::Saved), None),
            Ok(()) => (None, None),
            Err(ShareShortfall::Exhausted) => (Some(Refusal::BudgetExhausted), None),
            Err(ShareShortfall::AwaitsReceipts) => {
                (None, Some(WaitSummary::new("receipts", short)))
            }
            Err(ShareShortfall::Short) => (None, Some(WaitSummary::new("exchange", short))),
        };
        let own_spent = status.spent.saturating_sub(status.lost);
        let at_hand = MoneyAtHand {
            source: "share".into(),
            at_hand: Some(holder.available(account)),
            known_spent: Some(own_spent + status.others_used),
            lost: Some(status.lost + status.others_lost),
            granted: Some(status.granted),
            sealed: Some(status.sealed),
            others_granted: Some(status.others_granted),
            in_contact: Some(group.in_contact.get()),
            refusal_probability: Some(probability),
            ..MoneyAtHand::default()
        };
        MoneyCheck {
            at_hand,
            refusal,
            wait,
        }
    }

    /// Checks what relays granted to this router.
    fn check_credit(&self, request: TokenRequest<'_>) -> MoneyCheck {
        let TokenRequest {
            account, max_cost, ..
        } = request;
        let credit = self.credit.borrow();
        let wait = (!credit.covers(account, max_cost))
            .then(|| WaitSummary::new("grant", super::credit::no_relay_refusal()));
        let at_hand = MoneyAtHand {
            source: "credit".into(),
            at_hand: Some(credit.available(account)),
            ..MoneyAtHand::default()
        };
        MoneyCheck {
            at_hand,
            refusal: None,
            wait,
        }
    }
}
