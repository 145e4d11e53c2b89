# Example commands of Letargo's deployment, in `commands`; sourced by run-deployment.sh.
source "$root/scripts/examples-common.sh"
mapfile -t commands < <(
    chat "$callers" summary care-note 'Summary for tortoise 21.' false
    chat "$second" flag care-note 'Box 7 shows 9 degrees.' true
    call "$callers" fridge-move move-5 '{"from":7,"to":9}'
    call "$second" fridge-move move-5 '{"from":7,"to":9}'
    call "$callers" lookup any '{"tortoise":21}'
    administration
)
